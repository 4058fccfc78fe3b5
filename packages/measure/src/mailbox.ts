/** What reaches a process that can be paused. */

/** Runs deliveries at once, or in order after a pause. */
export class Mailbox {
  #isPaused = false;
  #backlog: (() => void)[] = [];

  /** Whether the process is paused. */
  get isPaused(): boolean {
    return this.#isPaused;
  }

  /** @param callback What reaches the process. */
  deliver(callback: () => void): void {
    if (this.#isPaused) {
      this.#backlog.push(callback);
    } else {
      callback();
    }
  }

  /** Holds back deliveries from now on. */
  pause(): void {
    this.#isPaused = true;
  }

  /** Runs what was held back, then everything at once again. */
  resume(): void {
    const backlog = this.#backlog;
    this.#backlog = [];
    this.#isPaused = false;
    backlog.forEach((callback) => callback());
  }

  /** Forgets what was held back, as when the process dies. */
  clear(): void {
    this.#isPaused = false;
    this.#backlog = [];
  }
}
