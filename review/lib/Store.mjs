/** Stand-in for the platform's store: keyed topics with long polling, and groups whose partitions are dealt to their members. */
import * as http from "node:http";
import { host, nowMs, sleep } from "./common.mjs";

const answerMs = 4;
/** Size of the records in the answer to a read whose query has no `max_kb`. */
const defaultReadKb = 1_024;

export class Store {
  constructor() {
    this._topics = new Map();
    this._groups = new Map();
    this._waiting = new Set();
    this._servers = [];
  }

  /**
   * Opens the store to one instance. Its access can be changed: `served`, `busy` (each call is answered with 503) or `cut` (no call is
   * answered). The operators and the endpoints are served in any case.
   */
  async open() {
    const access = { state: "served", address: "" };
    const server = http.createServer((request, response) => {
      this._handle(request, response, access).catch(() => response.destroy());
    });
    await new Promise((resolve) => server.listen(0, host, resolve));
    access.address = `${host}:${server.address().port}`;
    this._servers.push(server);
    return access;
  }

  close() {
    for (const server of this._servers) {
      server.close();
      server.closeAllConnections();
    }
  }

  /** Writes the value of a key, as the operators and the endpoints do; undefined removes the key. */
  write(topicName, key, value) {
    this._append(topicName, key, value === undefined ? Buffer.alloc(0) : Buffer.from(JSON.stringify(value)));
  }

  _getTopic(name) {
    if (!this._topics.has(name)) this._topics.set(name, { records: [], newest: new Map() });
    return this._topics.get(name);
  }

  _append(topicName, key, value) {
    const topic = this._getTopic(topicName);
    const name = Buffer.from(key);
    topic.records.push(Buffer.concat([Buffer.from([name.length]), name, value]));
    if (value.length === 0) topic.newest.delete(key);
    else topic.newest.set(key, { value, offset: topic.records.length - 1 });
    for (const wake of this._waiting) wake();
  }

  async _handle(request, response, access) {
    const chunks = [];
    for await (const chunk of request) chunks.push(chunk);
    const body = Buffer.concat(chunks);
    const url = new URL(request.url, "http://store");
    await sleep(answerMs);
    if (access.state === "cut") return;
    if (access.state === "busy") return void response.writeHead(503).end();
    const calls = {
      "/shedtiller/log-append": () => this._handleAppend(url, body, response),
      "/shedtiller/log-read": () => this._handleRead(url, response, access),
      "/shedtiller/log-newest": () => this._handleNewest(url, response),
      "/shedtiller/log-join": () => this._handleJoin(JSON.parse(body), response),
      "/shedtiller/log-leave": () => this._handleLeave(JSON.parse(body), response),
    };
    const call = calls[url.pathname];
    if (call === undefined) return void response.writeHead(404).end();
    return call();
  }

  _handleAppend(url, body, response) {
    const topicName = url.searchParams.get("topic");
    const keyLength = body[4];
    this._append(topicName, body.toString("utf8", 5, 5 + keyLength), body.subarray(5 + keyLength));
    const end = this._getTopic(topicName).records.length;
    sendJson(response, { offset: end - 1, end });
  }

  async _handleRead(url, response, access) {
    const topic = this._getTopic(url.searchParams.get("topic"));
    const from = Number(url.searchParams.get("from"));
    const waitMs = Number(url.searchParams.get("wait-ms") ?? 0);
    if (topic.records.length <= from && waitMs > 0) await this._waitForRecord(topic, from, waitMs);
    if (access.state === "cut") return;
    const head = Buffer.alloc(16);
    head.writeBigUInt64BE(BigInt(topic.records.length), 0);
    const limitBytes = Number(url.searchParams.get("max_kb") ?? defaultReadKb) * 1_024;
    const records = takeRecords(topic.records, from, limitBytes).flatMap((record) => {
      const length = Buffer.alloc(4);
      length.writeUInt32BE(record.length);
      return [length, record];
    });
    response.end(Buffer.concat([head, ...records]));
  }

  _waitForRecord(topic, from, waitMs) {
    return new Promise((resolve) => {
      const end = () => {
        clearTimeout(timer);
        this._waiting.delete(wake);
        resolve();
      };
      const wake = () => {
        if (topic.records.length > from) end();
      };
      const timer = setTimeout(end, waitMs);
      this._waiting.add(wake);
    });
  }

  _handleNewest(url, response) {
    const topic = this._getTopic(url.searchParams.get("topic"));
    const items = [...topic.newest].map(([key, { value, offset }]) => ({
      key,
      value: value.toString("base64"),
      offset,
    }));
    sendJson(response, { items, more: false, end: topic.records.length });
  }

  /** Deals the partitions of the group's topic evenly to its members. */
  _handleJoin({ group, member, topics, ttl_ms: ttlMs }, response) {
    const known = this._groups.get(group) ?? { generation: 0, members: new Map() };
    this._groups.set(group, known);
    const atMs = nowMs();
    for (const [name, untilMs] of known.members) {
      if (untilMs >= atMs) continue;
      known.members.delete(name);
      known.generation += 1;
    }
    if (!known.members.has(member)) known.generation += 1;
    known.members.set(member, atMs + ttlMs);
    const names = [...known.members.keys()];
    const parts = [0, 1, 2, 3, 4, 5, 6, 7]
      .filter((part) => names[part % names.length] === member)
      .map((part) => [topics[0], part, 0]);
    sendJson(response, { generation: known.generation, parts });
  }

  _handleLeave({ group, member }, response) {
    const known = this._groups.get(group);
    if (known?.members.delete(member) === true) known.generation += 1;
    sendJson(response, {});
  }
}

/** Returns the records from an offset on, at least one and as many as the limit allows. */
function takeRecords(records, from, limitBytes) {
  let end = from;
  let sizeBytes = 0;
  while (end < records.length && (end === from || sizeBytes + records[end].length <= limitBytes))
    sizeBytes += records[end++].length;
  return records.slice(from, end);
}

export function sendJson(response, body, status = 200) {
  response.writeHead(status, { "Content-Type": "application/json" }).end(JSON.stringify(body));
}
