import {AllowancesList} from './allowances.js';
import {EndpointsList} from './endpoint.js';
import {MovesList} from './move.js';
import {PlansList} from './plans.js';

/** Types of the replicated documents by name. */
export interface DocumentContents {
  plans: PlansList;
  allowances: AllowancesList;
  endpoints: EndpointsList;
  moves: MovesList;
}

/** Name of a replicated document. */
export type DocumentName = keyof DocumentContents;

/** Names of all replicated documents. */
export const documentNames: readonly DocumentName[] = [
  'plans',
  'allowances',
  'endpoints',
  'moves',
];
