import {DocumentContents, DocumentName} from '@ryeworks/types';

/** The documents that this VM has applied. */
export interface DocumentsState {
  /** Version that is applied; 0 if none is yet. */
  readonly versions: Record<DocumentName, number>;
  readonly contents: {[N in DocumentName]: DocumentContents[N]};
  /** Content as received, for forwarding without changes. */
  readonly json: Record<DocumentName, string>;
}

/** Creates the state before any document is applied. */
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
 * Returns whether the VM has the documents that it needs to serve requests. The
 * moves document is not required, as no move may have been ordered yet.
 */
export function isConfigured(documents: DocumentsState): boolean {
  const {plans, allowances, endpoints} = documents.versions;
  return plans > 0 && allowances > 0 && endpoints > 0;
}
