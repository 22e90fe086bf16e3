import {documentNames, DocumentName} from '@ryeworks/types';
import {handleEndpointsChanged} from '../admission/handleEndpointsChanged.js';
import {createCount, createLog, Effect} from '../effect.js';
import {DocumentRead} from '../input.js';
import {createSendPeer} from '../membership/createSendPeer.js';
import {getOwnerCandidates} from '../membership/membershipState.js';
import {handleMovesChanged} from '../moves/handleMovesChanged.js';
import {NodeState} from '../nodeState.js';
import {DocumentFetch, DocumentPush} from '../peerMessage.js';

/** Reacts to a document that has come into force. */
type DocumentChangeHandler = (state: NodeState, nowMs: number) => Effect[];

const documentChangeHandlers: Record<DocumentName, DocumentChangeHandler> = {
  plans: () => [],
  allowances: () => [],
  endpoints: handleEndpointsChanged,
  moves: handleMovesChanged,
};

/**
 * Puts a document in force when it is newer than the present one. An older or
 * equal version changes nothing, so a change never reverts.
 */
function applyDocument(
  state: NodeState,
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
    createLog('document_in_force', {document: name, version}),
    createCount('document.applied', {document: name}),
    ...documentChangeHandlers[name](state, nowMs),
  ];
}

/** Parses content that the shell or a peer has validated. */
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

/** Passes a document on to the VMs of the own zone. */
function pushDocumentToZone(state: NodeState, name: DocumentName): Effect[] {
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

/** Takes a document from the platform and passes it on in the zone. */
export function handleDocumentRead(
  state: NodeState,
  input: DocumentRead,
  nowMs: number,
): Effect[] {
  if (input.version <= state.documents.versions[input.name]) return [];
  const {name, version, contentJson} = input;
  const effects = applyDocument(state, name, version, contentJson, nowMs);
  if (state.documents.versions[name] !== version) return effects;
  return [...effects, ...pushDocumentToZone(state, name)];
}

/** Asks a peer for a document when it has a newer version. */
export function fetchNewerDocument(
  state: NodeState,
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

/** Gives a peer a document that is newer than its own. */
export function handleDocumentFetch(
  state: NodeState,
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

/** Takes a document from a peer. */
export function handleDocumentPush(
  state: NodeState,
  _from: string,
  message: DocumentPush,
  nowMs: number,
): Effect[] {
  if (!documentNames.includes(message.name as DocumentName)) return [];
  const name = message.name as DocumentName;
  const {version, contentJson} = message;
  return applyDocument(state, name, version, contentJson, nowMs);
}
