import {readdirSync, readFileSync} from 'node:fs';

const directory = new URL('../../scenarios/', import.meta.url);
const extension = '.scenario';

/** A scenario file; its name lacks the extension. */
export interface ScenarioFile {
  readonly name: string;
  readonly text: string;
}

/** Reads the scenario files whose names contain a text, sorted by name. */
export function findScenarios(namePart = ''): ScenarioFile[] {
  const files: ScenarioFile[] = [];
  for (const file of readdirSync(directory).sort()) {
    if (!file.endsWith(extension) || !file.includes(namePart)) continue;
    const name = file.slice(0, -extension.length);
    files.push({name, text: readFileSync(new URL(file, directory), 'utf8')});
  }
  return files;
}
