/** Mailbox of a simulated process that can be paused. */

/**
 * Runs the deliveries to a process: at once while the process runs, in order of
 * arrival after it resumes from a pause.
 */
export class Mailbox {
  #isPaused = false;
  #backlog: (() => void)[] = [];

  /** Whether the process is paused. */
  get isPaused(): boolean {
    return this.#isPaused;
  }

  /**
   * Delivers an event to the process.
   *
   * @param callback Function that handles the event.
   */
  deliver(callback: () => void): void {
    if (this.#isPaused) {
      this.#backlog.push(callback);
    } else {
      callback();
    }
  }

  /** Queues deliveries from now on. */
  pause(): void {
    this.#isPaused = true;
  }

  /** Runs the queued deliveries; later ones run at once again. */
  resume(): void {
    const backlog = this.#backlog;
    this.#backlog = [];
    this.#isPaused = false;
    backlog.forEach((callback) => callback());
  }

  /** Discards the queued deliveries, as when the process is killed. */
  clear(): void {
    this.#isPaused = false;
    this.#backlog = [];
  }
}
