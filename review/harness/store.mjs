/**
 * Stand-in for the platform's store: rows with versions, long polls for changes
 * and conditional writes, as PROTOCOL.md describes them. Each instance gets a
 * listener of its own, so that the store can refuse single instances.
 */

import { Buffer } from "node:buffer";
import { createServer } from "node:http";

const ANSWER_MS = 4;
const MAX_PAGE_ROWS = 500;

/** How a listener treats calls. */
export const StoreMode = {
  Normal: "normal",
  /** Calls are answered with status 503, and nothing is done. */
  Busy: "busy",
  /** Calls are read and never answered, and nothing is done. */
  Silent: "silent",
};

export class Store {
  #rows = new Map();
  #version = 0;
  #feeds = new Set();
  #servers = [];
  /** Mode of each listener, by `ip:port`. */
  modes = new Map();
  /** Called with every row that an instance writes. */
  onWrite = () => {};

  /** Opens a listener and returns its `ip:port`. */
  async listen(host) {
    const server = createServer((request, response) => {
      const chunks = [];
      request.on("data", (chunk) => chunks.push(chunk));
      request.on("end", () => {
        const body = Buffer.concat(chunks).toString();
        setTimeout(
          () => this.#serve({ address, request, response, body }),
          ANSWER_MS,
        );
      });
      request.on("error", () => {});
    });
    server.keepAliveTimeout = 60_000;
    await new Promise((resolve) => server.listen(0, host, resolve));
    const address = `${host}:${server.address().port}`;
    this.modes.set(address, StoreMode.Normal);
    this.#servers.push(server);
    return address;
  }

  close() {
    this.#feeds.forEach(({ timer }) => clearTimeout(timer));
    for (const server of this.#servers) {
      server.close();
      server.closeAllConnections();
    }
  }

  /** Writes a row for the operator or a server; no content removes the row. */
  put(table, key, content) {
    this.#version++;
    this.#set({
      table,
      part: "",
      key,
      value: content === undefined
        ? undefined
        : Buffer.from(JSON.stringify(content)).toString("base64"),
    });
    this.#answerFeeds();
    return this.#version;
  }

  /** Returns the decoded content of a row; undefined if it does not exist. */
  get(table, key) {
    const row = this.#rows.get(`${table}//${key}`);
    return row === undefined || row.removed
      ? undefined
      : JSON.parse(Buffer.from(row.value, "base64").toString());
  }

  #set({ table, part, key, value }) {
    const row = value === undefined
      ? { table, part, key, ver: this.#version, removed: true }
      : { table, part, key, ver: this.#version, value };
    this.#rows.set(`${table}/${part}/${key}`, row);
  }

  #serve({ address, request, response, body }) {
    const mode = this.modes.get(address);
    if (mode === StoreMode.Silent) {
      return;
    }
    if (mode === StoreMode.Busy) {
      response.writeHead(503).end();
      return;
    }
    const url = new URL(request.url, "http://store");
    const call = {
      address,
      response,
      body,
      query: Object.fromEntries(url.searchParams),
    };
    if (url.pathname === "/rows-get") {
      this.#read(call);
    } else if (url.pathname === "/rows-feed") {
      this.#feed(call);
    } else if (url.pathname === "/rows-tx") {
      this.#write(call);
    } else {
      response.writeHead(404).end();
    }
  }

  #read({ response, query }) {
    const { table, part = "", from, to } = query;
    const rows = [...this.#rows.values()]
      .filter((row) =>
        row.table === table && row.part === part && !row.removed &&
        (from === undefined || row.key >= from) &&
        (to === undefined || row.key < to)
      )
      .sort((a, b) => (a.key < b.key ? -1 : 1));
    this.#send(response, {
      rows: rows.slice(0, MAX_PAGE_ROWS),
      hasMore: rows.length > MAX_PAGE_ROWS,
    });
  }

  #changes(table, after) {
    return [...this.#rows.values()]
      .filter((row) => row.table === table && row.ver > after)
      .sort((a, b) => a.ver - b.ver);
  }

  #feed({ address, response, query }) {
    const after = Number(query.after);
    const answer = () => {
      clearTimeout(feed.timer);
      this.#feeds.delete(feed);
      if (this.modes.get(address) === StoreMode.Normal) {
        this.#send(response, { rows: this.#changes(query.table, after) });
      }
    };
    const feed = { table: query.table, after, answer };
    if (this.#changes(query.table, after).length > 0) {
      answer();
      return;
    }
    this.#feeds.add(feed);
    feed.timer = setTimeout(answer, Number(query.waitMs ?? 0));
    response.on("close", () => {
      clearTimeout(feed.timer);
      this.#feeds.delete(feed);
    });
  }

  #answerFeeds() {
    for (const feed of [...this.#feeds]) {
      if (this.#changes(feed.table, feed.after).length > 0) {
        feed.answer();
      }
    }
  }

  #write({ address, response, body }) {
    const { expectedRev = [], puts = [], remove = [] } = JSON.parse(body);
    if ([...puts, ...remove].some(({ table }) => isForeign(table))) {
      response.writeHead(403).end();
      return;
    }
    const known = expectedRev.map(({ table, part = "", key }) =>
      this.#rows.get(`${table}/${part}/${key}`)
    );
    const isCurrent = expectedRev.every(({ ver }, index) =>
      ver === (known[index]?.removed ? 0 : known[index]?.ver ?? 0)
    );
    if (!isCurrent) {
      const rows = known.filter((row) => row !== undefined && !row.removed);
      this.#send(response, { rows }, 412);
      return;
    }
    this.#version++;
    for (const { table, part = "", key, value } of puts) {
      this.#set({ table, part, key, value });
      this.onWrite({ address, table, key, value });
    }
    for (const { table, part = "", key } of remove) {
      this.#set({ table, part, key });
    }
    this.#answerFeeds();
    this.#send(response, {});
  }

  #send(response, content, status = 200) {
    response.writeHead(status, { "Content-Type": "application/json" }).end(
      JSON.stringify({
        ...content,
        ver: this.#version,
        nowMs: Math.round(performance.now()),
      }),
    );
  }
}

/** The system may not write to the tables of the operator and the servers. */
function isForeign(table) {
  return table === "op" || table === "servers";
}
