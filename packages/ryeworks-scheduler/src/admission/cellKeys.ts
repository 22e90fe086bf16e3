import {Endpoint} from '@ryeworks/types';
import {rankByKey} from '@ryeworks/utils';

/** The parts of a cell key, without the index of the cell. */
export interface CellKeyParts {
  readonly service: string;
  readonly version: string;
  readonly availabilityZone: string;
}

/** Creates the key of one cell of a service version in a zone. */
export function createCellKey(parts: CellKeyParts, index: number): string {
  return `${parts.service}@${parts.version}@${parts.availabilityZone}#${index}`;
}

/** Parses a cell key and leaves out the index. */
export function parseCellKey(cellKey: string): CellKeyParts {
  const [service, version, zoneAndIndex] = cellKey.split('@');
  const availabilityZone = (zoneAndIndex ?? '').split('#')[0];
  return {service, version: version ?? '', availabilityZone};
}

/** Returns the smallest power of two that is not less than a number. */
function roundUpToPowerOfTwo(value: number): number {
  return 2 ** Math.ceil(Math.log2(Math.max(1, value)));
}

/**
 * Divides endpoints into cells of about `cellMaxEndpoints` endpoints each. The
 * number of cells is a power of two, so that few endpoints change cells as a
 * service grows.
 */
export function assignCells(
  endpoints: readonly Endpoint[],
  cellMaxEndpoints: number,
): Map<string, Endpoint[]> {
  const groups = new Map<string, Endpoint[]>();
  for (const endpoint of endpoints) {
    const groupKey = createCellKey(endpoint, 0);
    const members = groups.get(groupKey) ?? [];
    members.push(endpoint);
    groups.set(groupKey, members);
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
