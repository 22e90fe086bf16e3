import {Endpoint} from '@ryeworks/types';
import {rankByKey} from '@ryeworks/utils';

/** What a cell key says. */
export interface CellKeyParts {
  readonly service: string;
  readonly version: string;
  readonly availabilityZone: string;
}

/** Creates the key of one cell of a service's version in a zone. */
export function createCellKey(name: CellKeyParts, index: number): string {
  return `${name.service}@${name.version}@${name.availabilityZone}#${index}`;
}

/** Reads a cell key. */
export function parseCellKey(cellKey: string): CellKeyParts {
  const [service, version, rest] = cellKey.split('@');
  const availabilityZone = (rest ?? '').split('#')[0];
  return {service, version: version ?? '', availabilityZone};
}

/** Returns the least power of two that is not below a number. */
function roundUpToPowerOfTwo(value: number): number {
  return 2 ** Math.ceil(Math.log2(Math.max(1, value)));
}

/**
 * Divides endpoints into cells of about `cellMaxEndpoints`. The number of
 * cells is a power of two, so that few endpoints change cells as a service
 * grows.
 */
export function assignCells(
  endpoints: readonly Endpoint[],
  cellMaxEndpoints: number,
): Map<string, Endpoint[]> {
  const groups = new Map<string, Endpoint[]>();
  for (const endpoint of endpoints) {
    const group = createCellKey(endpoint, 0);
    const members = groups.get(group) ?? [];
    members.push(endpoint);
    groups.set(group, members);
  }
  const cells = new Map<string, Endpoint[]>();
  for (const members of groups.values()) {
    const count = roundUpToPowerOfTwo(members.length / cellMaxEndpoints);
    const indexes = Array.from({length: count}, (_, index) => `${index}`);
    for (const endpoint of members) {
      const [index] = rankByKey(endpoint.endpoint, indexes);
      const cellKey = createCellKey(endpoint, Number(index));
      const cell = cells.get(cellKey) ?? [];
      cell.push(endpoint);
      cells.set(cellKey, cell);
    }
  }
  return cells;
}
