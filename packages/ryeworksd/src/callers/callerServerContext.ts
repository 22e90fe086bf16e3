import {Settings} from '@ryeworks/config';
import {Metrics} from '@ryeworks/logger';
import {Clock} from '@ryeworks/utils';
import {AnswerRegistry} from '../answers/answerRegistry.js';
import {OpenRequests} from '../answers/openRequests.js';
import {SchedulerLoop} from '../core/schedulerLoop.js';
import {PeerServer} from '../peers/createPeerServer.js';
import {OpenReplies} from './openReplies.js';

/** Dependencies of the caller server. */
export interface CallerServerContext {
  readonly settings: Settings;
  readonly loop: SchedulerLoop;
  readonly clock: Clock;
  readonly metrics: Metrics;
  readonly answers: AnswerRegistry;
  readonly openRequests: OpenRequests;
  readonly openReplies: OpenReplies;
  readonly peerServer: PeerServer;
}
