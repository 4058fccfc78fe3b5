/** What reaches a process that can be paused. */

/** Runs deliveries at once, or in order after a pause. */
export class Mailbox {
  #paused = false;
  #backlog: (() => void)[] = [];

  /** Whether the process is paused. */
  get isPaused(): boolean {
    return this.#paused;
  }

  /** @param run What reaches the process. */
  deliver(run: () => void): void {
    if (this.#paused) {
      this.#backlog.push(run);
    } else {
      run();
    }
  }

  /** Holds back deliveries from now on. */
  pause(): void {
    this.#paused = true;
  }

  /** Runs what was held back, then everything at once again. */
  resume(): void {
    const backlog = this.#backlog;
    this.#backlog = [];
    this.#paused = false;
    backlog.forEach((run) => run());
  }

  /** Forgets what was held back, as when the process dies. */
  clear(): void {
    this.#paused = false;
    this.#backlog = [];
  }
}
