import {AllowancesList} from './allowances.js';
import {EndpointsList} from './endpoint.js';
import {MovesList} from './move.js';
import {PlansList} from './plans.js';

/** Content of each replicated document by name. */
export interface DocumentContents {
  plans: PlansList;
  allowances: AllowancesList;
  endpoints: EndpointsList;
  moves: MovesList;
}

/** Name of a replicated document. */
export type DocumentName = keyof DocumentContents;

/** Every replicated document. */
export const documentNames: readonly DocumentName[] = [
  'plans',
  'allowances',
  'endpoints',
  'moves',
];
