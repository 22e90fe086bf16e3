import {readFileSync, writeFileSync} from 'node:fs';
import {createCapacityTables} from './createCapacityTables.js';
import type {CapacityReport} from './runCapacityMeasurement.js';

const root = new URL('../../../../../', import.meta.url);
const pageFile = new URL('docs/CAPACITY.md', root);
const figuresFile = new URL('docs/measurements/capacity.json', root);

/** Comments that enclose the generated tables in the page. */
const beginMarker = '<!-- generated from measurements/capacity.json: begin -->';
const endMarker = '<!-- generated: end -->';

/**
 * Returns the current text of docs/CAPACITY.md and the text with tables that are
 * generated from the stored figures.
 */
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

/** Regenerates the tables of docs/CAPACITY.md. */
export function writeCapacityPage(): void {
  writeFileSync(pageFile, readCapacityPage().generated);
}
