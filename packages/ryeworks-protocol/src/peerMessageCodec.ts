import {create, MessageInitShape, toBinary} from '@bufbuild/protobuf';
import {PeerMessage as SchedulerPeerMessage} from '@ryeworks/scheduler';
import {
  Envelope,
  EnvelopeSchema,
  PeerMessage,
  PeerMessageSchema,
} from './gen/peer_pb.js';

/** Initial value of the `message` field of a generated peer message. */
type PeerMessageInit = NonNullable<
  MessageInitShape<typeof PeerMessageSchema>['message']
>;

/** Converts a message of the scheduler to its generated type. */
export function encodePeerMessage(message: SchedulerPeerMessage): PeerMessage {
  const {kind, ...value} = message;
  const generated = {case: kind, value} as unknown as PeerMessageInit;
  return create(PeerMessageSchema, {message: generated});
}

/** Converts a generated message; returns undefined if its kind is unknown. */
export function decodePeerMessage(
  message: PeerMessage,
): SchedulerPeerMessage | undefined {
  const {case: kind, value} = message.message;
  if (kind === undefined) return undefined;
  const fields = {kind, ...value} as unknown;
  return fields as SchedulerPeerMessage;
}

/** Returns the encoded size of a message, in bytes. */
export function getMessageBytes(message: SchedulerPeerMessage): number {
  return toBinary(PeerMessageSchema, encodePeerMessage(message)).length;
}

/** Creates an envelope with messages for one peer. */
export function createEnvelope(
  from: string,
  messages: readonly SchedulerPeerMessage[],
): Envelope {
  return create(EnvelopeSchema, {
    from,
    messages: messages.map(encodePeerMessage),
  });
}

/** Returns the messages of an envelope except those of unknown kinds. */
export function readEnvelope(envelope: Envelope): SchedulerPeerMessage[] {
  const messages: SchedulerPeerMessage[] = [];
  for (const generated of envelope.messages) {
    const message = decodePeerMessage(generated);
    if (message !== undefined) messages.push(message);
  }
  return messages;
}
