import {ServerResponse} from 'node:http';

/**
 * Replies from the arrival of a request's headers until everything was sent to
 * the caller or the caller is gone. A reply stays open after its answer has ended
 * if the caller reads slowly.
 */
export class OpenReplies {
  private readonly replies = new Set<ServerResponse>();
  private isStopping = false;

  /** Adds the reply to a request that has just begun to arrive. */
  add(reply: ServerResponse): void {
    this.replies.add(reply);
    reply.on('close', () => this.replies.delete(reply));
    if (this.isStopping) this.closeAfter(reply);
  }

  /** Returns the number of open replies. */
  count(): number {
    return this.replies.size;
  }

  /** From now on, closes each connection after its reply. */
  startStopping(): void {
    this.isStopping = true;
    for (const reply of this.replies) this.closeAfter(reply);
  }

  private closeAfter(reply: ServerResponse): void {
    if (!reply.headersSent) reply.setHeader('connection', 'close');
  }
}
