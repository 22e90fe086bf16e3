import {documentNames, DocumentName} from '@ryeworks/types';
import {handleEndpointsChanged} from '../admission/handleEndpointsChanged.js';
import {createCount, createLog, Effect} from '../effect.js';
import {DocumentRead} from '../input.js';
import {createSendPeer} from '../membership/createSendPeer.js';
import {getOwnerCandidates} from '../membership/membershipState.js';
import {handleMovesChanged} from '../moves/handleMovesChanged.js';
import {SchedulerState} from '../schedulerState.js';
import {DocumentFetch, DocumentPush} from '../peerMessage.js';

/** Reacts to a newly applied version of a document. */
type DocumentChangeHandler = (state: SchedulerState, nowMs: number) => Effect[];

const documentChangeHandlers: Record<DocumentName, DocumentChangeHandler> = {
  plans: () => [],
  allowances: () => [],
  endpoints: handleEndpointsChanged,
  moves: handleMovesChanged,
};

/**
 * Applies a document if it is newer than the applied version. An older or equal
 * version is ignored, so a change is never reverted.
 */
function applyDocument(
  state: SchedulerState,
  name: DocumentName,
  version: number,
  contentJson: string,
  nowMs: number,
): Effect[] {
  const {documents} = state;
  if (version <= documents.versions[name]) return [];
  const content = parseContent(contentJson);
  if (content === undefined) {
    return [
      createLog('document_refused', {document: name, version}),
      createCount('document.refused', {document: name}),
    ];
  }
  documents.versions[name] = version;
  documents.json[name] = contentJson;
  Object.assign(documents.contents, {[name]: content});
  return [
    createLog('document_applied', {document: name, version}),
    createCount('document.applied', {document: name}),
    ...documentChangeHandlers[name](state, nowMs),
  ];
}

/** Parses content that the host process or a peer has validated. */
function parseContent(contentJson: string): object | undefined {
  try {
    const content: unknown = JSON.parse(contentJson);
    return typeof content === 'object' && content !== null
      ? content
      : undefined;
  } catch {
    return undefined;
  }
}

/** Sends a document to the other VMs of this VM's zone. */
function pushDocumentToZone(
  state: SchedulerState,
  name: DocumentName,
): Effect[] {
  const {documents, membership, options} = state;
  const push: DocumentPush = {
    kind: 'documentPush',
    name,
    version: documents.versions[name],
    contentJson: documents.json[name],
  };
  const effects: Effect[] = [];
  for (const vm of getOwnerCandidates(membership, options.availabilityZone)) {
    if (vm !== options.vm) effects.push(createSendPeer(state, vm, push));
  }
  return effects;
}

/** Applies a document from the platform and forwards it within the zone. */
export function handleDocumentRead(
  state: SchedulerState,
  input: DocumentRead,
  nowMs: number,
): Effect[] {
  if (input.version <= state.documents.versions[input.name]) return [];
  const {name, version, contentJson} = input;
  const effects = applyDocument(state, name, version, contentJson, nowMs);
  if (state.documents.versions[name] !== version) return effects;
  return [...effects, ...pushDocumentToZone(state, name)];
}

/** Requests a document from a peer that has a newer version. */
export function fetchNewerDocument(
  state: SchedulerState,
  peer: string,
  name: DocumentName,
  version: number,
): Effect[] {
  const {documents} = state;
  if (version <= documents.versions[name]) return [];
  const haveVersion = documents.versions[name];
  const message: DocumentFetch = {kind: 'documentFetch', name, haveVersion};
  return [createSendPeer(state, peer, message)];
}

/** Sends a peer a document if it is newer than the peer's version. */
export function handleDocumentFetch(
  state: SchedulerState,
  from: string,
  message: DocumentFetch,
): Effect[] {
  if (!documentNames.includes(message.name as DocumentName)) return [];
  const name = message.name as DocumentName;
  const {documents} = state;
  if (documents.versions[name] <= message.haveVersion) return [];
  return [
    createSendPeer(state, from, {
      kind: 'documentPush',
      name,
      version: documents.versions[name],
      contentJson: documents.json[name],
    }),
  ];
}

/** Applies a document from a peer. */
export function handleDocumentPush(
  state: SchedulerState,
  _from: string,
  message: DocumentPush,
  nowMs: number,
): Effect[] {
  if (!documentNames.includes(message.name as DocumentName)) return [];
  const name = message.name as DocumentName;
  const {version, contentJson} = message;
  return applyDocument(state, name, version, contentJson, nowMs);
}
