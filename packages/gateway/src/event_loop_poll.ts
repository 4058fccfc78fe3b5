/** Waiting for what has arrived on the process's sockets. */

/**
 * Waits until the event loop has polled its sockets, and what had arrived was
 * read. A process that was late or paused runs its timers before that.
 *
 * @returns A promise that is fulfilled after the poll.
 */
export function pollOfEventLoop(): Promise<void> {
  // The first callback may run in a turn whose poll is over.
  return new Promise((resolve) => setImmediate(() => setImmediate(resolve)));
}
