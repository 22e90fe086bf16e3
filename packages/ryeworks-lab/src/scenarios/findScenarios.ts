import {readdirSync, readFileSync} from 'node:fs';

const directory = new URL('../../scenarios/', import.meta.url);
const extension = '.scenario';

/** One scenario file. */
export interface ScenarioFile {
  readonly name: string;
  readonly text: string;
}

/** Reads the scenario files whose name contains a text. */
export function findScenarios(wanted = ''): ScenarioFile[] {
  const files: ScenarioFile[] = [];
  for (const file of readdirSync(directory).sort()) {
    if (!file.endsWith(extension) || !file.includes(wanted)) continue;
    const name = file.slice(0, -extension.length);
    files.push({name, text: readFileSync(new URL(file, directory), 'utf8')});
  }
  return files;
}
