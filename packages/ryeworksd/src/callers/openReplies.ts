import {RequestQueue} from '@ryeworks/utils';
import {ServerResponse} from 'node:http';
import {Socket} from 'node:net';

/**
 * The callers' connections with the requests that wait on them, and the replies
 * from the turn of a request until everything was sent to the caller or the
 * caller is gone. A reply stays open after its answer has ended if the caller
 * reads slowly.
 */
export class OpenReplies {
  private readonly queues = new Map<Socket, RequestQueue>();
  private readonly replies = new Set<ServerResponse>();
  private isStopping = false;

  /** Returns the requests on a connection. */
  getQueue(socket: Socket): RequestQueue {
    const known = this.queues.get(socket);
    if (known !== undefined) return known;
    const queue = new RequestQueue(socket);
    if (this.isStopping) queue.startStopping();
    this.queues.set(socket, queue);
    socket.once('close', () => {
      this.queues.delete(socket);
      queue.close();
    });
    return queue;
  }

  /** Adds the reply to a request whose turn has come. */
  add(reply: ServerResponse): void {
    this.replies.add(reply);
    reply.on('close', () => this.replies.delete(reply));
    if (this.isStopping) this.decideClosing(reply);
  }

  /** Keeps a connection of a stopping VM for a request that was just read. */
  handleRequestRead(socket: Socket): void {
    if (!this.isStopping) return;
    for (const reply of this.replies) {
      if (reply.req.socket === socket) this.decideClosing(reply);
    }
  }

  /** Returns the number of open replies. */
  count(): number {
    return this.replies.size;
  }

  /** From now on, closes each connection after the last reply on it. */
  startStopping(): void {
    this.isStopping = true;
    for (const queue of this.queues.values()) queue.startStopping();
    for (const reply of this.replies) this.decideClosing(reply);
  }

  private decideClosing(reply: ServerResponse): void {
    if (reply.headersSent) return;
    const {hasNext} = this.getQueue(reply.req.socket);
    if (hasNext) reply.removeHeader('connection');
    else reply.setHeader('connection', 'close');
  }
}
