import {readFileSync, writeFileSync} from 'node:fs';
import {createCapacityTables} from './createCapacityTables.js';
import type {CapacityReport} from './runCapacityMeasurement.js';

const root = new URL('../../../../../', import.meta.url);
const pageFile = new URL('docs/CAPACITY.md', root);
const figuresFile = new URL('docs/measurements/capacity.json', root);

const beginMarker = '<!-- generated from measurements/capacity.json: begin -->';
const endMarker = '<!-- generated: end -->';

/** Returns the page as it stands and as its figures say. */
export function readCapacityPage(): {current: string; generated: string} {
  const current = readFileSync(pageFile, 'utf8');
  const figures = readFileSync(figuresFile, 'utf8');
  const tables = createCapacityTables(JSON.parse(figures) as CapacityReport);
  const before = current.slice(
    0,
    current.indexOf(beginMarker) + beginMarker.length,
  );
  const after = current.slice(current.indexOf(endMarker));
  return {current, generated: `${before}\n\n${tables}\n\n${after}`};
}

/** Writes the tables of docs/CAPACITY.md anew. */
export function writeCapacityPage(): void {
  writeFileSync(pageFile, readCapacityPage().generated);
}
