export {
  AnswerEndSchema,
  AttachEventSchema,
  AttachRequestSchema,
  DeliveredSchema,
  EnvelopeSchema,
  PeerService,
  type AttachEvent,
  type Envelope,
} from './gen/peer_pb.js';
export * from './peerMessageCodec.js';
