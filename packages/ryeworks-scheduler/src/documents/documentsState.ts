import {DocumentContents, DocumentName} from '@ryeworks/types';

/** The documents in force on this VM. */
export interface DocumentsState {
  /** Version in force; 0 before the first. */
  readonly versions: Record<DocumentName, number>;
  readonly contents: {[N in DocumentName]: DocumentContents[N]};
  /** Content as received, to pass on unchanged. */
  readonly json: Record<DocumentName, string>;
}

/** Creates empty documents. */
export function createDocumentsState(): DocumentsState {
  return {
    versions: {plans: 0, allowances: 0, endpoints: 0, moves: 0},
    contents: {
      plans: {plans: [], customers: []},
      allowances: {allowances: [], currentVersions: {}},
      endpoints: {endpoints: []},
      moves: {moves: []},
    },
    json: {plans: '', allowances: '', endpoints: '', moves: ''},
  };
}

/**
 * Tells whether the VM knows enough to serve. Moves may be absent: none may
 * ever have been ordered.
 */
export function isConfigured(documents: DocumentsState): boolean {
  const {plans, allowances, endpoints} = documents.versions;
  return plans > 0 && allowances > 0 && endpoints > 0;
}
