/** Keeps the settings in force: read, checked, passed on, never going back. */

import {
  PeerMessageKind,
  type PeerMessageOf,
} from "@chestnuthatch/wire/peer_messages";
import { readSettings } from "@chestnuthatch/settings/read_settings";
import { describeFault } from "@chestnuthatch/settings/settings_fault";
import { resolveSettings } from "@chestnuthatch/settings/resolve_settings";
import type { Controller, EventHandlers, Turn } from "./controller.ts";
import { EffectKind, LogLevel, LogPart } from "./effects.ts";
import { EventKind, type EventOf } from "./events.ts";
import {
  askForSettings,
  askNewerPeer,
  forgetOffer,
  noteOfferFrom,
  offerSettings,
  offerToOlderPeers,
} from "./settings_offers.ts";
import { timingOf, withJitter } from "./timing.ts";

/** Most faults of refused settings that are written to the log. */
const MAX_FAULTS_LOGGED = 3;

/** A version of the settings as the store or a peer hands it over. */
interface SettingsVersion {
  readonly version: number;
  readonly content: string;
  readonly changeId: string;
}

/** Writes the settings section. */
export class SettingsController implements Controller {
  readonly name = "settings";
  readonly handlers: EventHandlers = {
    [EventKind.Tick]: (_event, turn) => pollStore(turn),
    [EventKind.SettingsRead]: (event, turn) => takeSettings(turn, event),
    [EventKind.PeerMessageReceived]: onMessage,
    [EventKind.PeerConnected]: ({ peerId }, turn) => onConnected(turn, peerId),
    [EventKind.PeerDisconnected]: ({ peerId }, turn) =>
      forgetOffer(turn.board, peerId),
  };
}

function onMessage(
  event: EventOf<EventKind.PeerMessageReceived>,
  turn: Turn,
): void {
  const { message, fromId } = event;
  switch (message.kind) {
    case PeerMessageKind.SettingsOffer:
      noteOfferFrom(turn, { peerId: fromId, version: message.version });
      return takeSettings(turn, message);
    case PeerMessageKind.SettingsWanted:
      return onWanted(turn, { message, fromId });
    case PeerMessageKind.Heartbeat:
      return onHeartbeat(turn, { message, fromId });
  }
}

function onWanted(
  turn: Turn,
  asked: {
    message: PeerMessageOf<PeerMessageKind.SettingsWanted>;
    fromId: string;
  },
): void {
  const version = turn.board.settings.inForce?.version ?? 0;
  if (version > asked.message.haveVersion) {
    offerSettings(turn, asked.fromId);
  }
}

/** Only the sender's own word counts here; what it passes on may be old. */
function onHeartbeat(
  turn: Turn,
  heard: { message: PeerMessageOf<PeerMessageKind.Heartbeat>; fromId: string },
): void {
  const { message, fromId } = heard;
  const word = message.members.find((one) => one.instanceId === fromId);
  const version = turn.board.settings.inForce?.version ?? 0;
  if (word === undefined || fromId === turn.board.self.instanceId) {
    return;
  }
  if (word.settingsVersion < version) {
    offerSettings(turn, fromId);
  } else if (word.settingsVersion > version) {
    askNewerPeer(turn, fromId);
  }
}

function onConnected(turn: Turn, peerId: string): void {
  forgetOffer(turn.board, peerId);
  if (turn.board.settings.inForce === undefined) {
    askForSettings(turn, peerId);
  }
}

function pollStore(turn: Turn): void {
  const { settings } = turn.board;
  if (turn.nowMs < (settings.nextPollAtMs ?? -Infinity)) {
    return;
  }
  const { settingsPollMs } = timingOf(turn.board);
  settings.lastPollAtMs = turn.nowMs;
  settings.nextPollAtMs = turn.nowMs + withJitter(settingsPollMs, turn.random);
  turn.emit({
    kind: EffectKind.PollSettings,
    haveVersion: settings.inForce?.version ?? 0,
  });
}

function takeSettings(turn: Turn, given: SettingsVersion): void {
  const { settings } = turn.board;
  const version = settings.inForce?.version ?? 0;
  if (given.version > version) {
    takeHigherVersion(turn, given);
  } else if (
    given.version === version && given.changeId !== settings.changeId
  ) {
    refuse(turn, given, `it is in force as ${settings.changeId}`);
  }
}

function takeHigherVersion(turn: Turn, given: SettingsVersion): void {
  const { settings } = turn.board;
  if (wasRefused(turn, given)) {
    return;
  }
  const tree = readSettings(given.content);
  if (tree.isErr()) {
    const faults = tree.error.slice(0, MAX_FAULTS_LOGGED)
      .map(describeFault);
    refuse(turn, given, faults.join("; "));
    return;
  }
  settings.inForce = resolveSettings(tree.value, given.version);
  settings.content = given.content;
  settings.changeId = given.changeId;
  settings.refused = undefined;
  announce(turn);
}

function announce(turn: Turn): void {
  const { inForce, changeId } = turn.board.settings;
  const version = inForce?.version ?? 0;
  turn.emit({ kind: EffectKind.SettingsInForce, version });
  turn.log(
    LogLevel.Info,
    LogPart.Settings,
    `Version ${version} (${changeId}) is in force.`,
  );
  offerToOlderPeers(turn);
}

function wasRefused(turn: Turn, given: SettingsVersion): boolean {
  const { refused } = turn.board.settings;
  return refused?.version === given.version &&
    refused.content === given.content;
}

function refuse(turn: Turn, given: SettingsVersion, why: string): void {
  if (wasRefused(turn, given)) {
    return;
  }
  const { version, content, changeId } = given;
  turn.board.settings.refused = { version, content };
  turn.log(
    LogLevel.Error,
    LogPart.Settings,
    `Refused version ${version} (${changeId}): ${why}.`,
  );
}
