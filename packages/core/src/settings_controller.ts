/** Settings controller: validates, applies and propagates settings versions. */

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
  clearOffer,
  offerSettings,
  offerToOutdatedPeers,
  recordPeerVersion,
  requestNewerSettings,
  requestSettings,
} from "./settings_offers.ts";
import { timingInForce, withJitter } from "./timing.ts";

/** Upper bound on faults logged for one rejected version. */
const MAX_LOGGED_FAULTS = 3;

/** A version of the settings as read from the store or offered by a peer. */
interface SettingsVersion {
  readonly version: number;
  readonly content: string;
  readonly changeId: string;
}

/**
 * Maintains the settings section of the blackboard: polls the store, exchanges
 * versions with peers, and applies valid ones in rising order only.
 */
export class SettingsController implements Controller {
  readonly name = "settings";
  readonly handlers: EventHandlers = {
    [EventKind.Tick]: (_event, turn) => pollStore(turn),
    [EventKind.SettingsRead]: (event, turn) => applySettings(turn, event),
    [EventKind.PeerMessageReceived]: onMessage,
    [EventKind.PeerConnected]: ({ peerId }, turn) =>
      onPeerConnected(turn, peerId),
    [EventKind.PeerDisconnected]: ({ peerId }, turn) =>
      clearOffer(turn.board, peerId),
  };
}

function onMessage(
  event: EventOf<EventKind.PeerMessageReceived>,
  turn: Turn,
): void {
  const { message, fromId } = event;
  switch (message.kind) {
    case PeerMessageKind.SettingsOffer:
      recordPeerVersion(turn, { peerId: fromId, version: message.version });
      return applySettings(turn, message);
    case PeerMessageKind.SettingsWanted:
      return onSettingsWanted(turn, { message, fromId });
    case PeerMessageKind.Heartbeat:
      return onHeartbeat(turn, { message, fromId });
  }
}

function onSettingsWanted(
  turn: Turn,
  received: {
    message: PeerMessageOf<PeerMessageKind.SettingsWanted>;
    fromId: string;
  },
): void {
  const version = turn.board.settings.inForce?.version ?? 0;
  if (version > received.message.haveVersion) {
    offerSettings(turn, received.fromId);
  }
}

/** Uses only the sender's own entry; entries it relays may be outdated. */
function onHeartbeat(
  turn: Turn,
  received: {
    message: PeerMessageOf<PeerMessageKind.Heartbeat>;
    fromId: string;
  },
): void {
  const { message, fromId } = received;
  const senderEntry = message.members.find((entry) =>
    entry.instanceId === fromId
  );
  const version = turn.board.settings.inForce?.version ?? 0;
  if (senderEntry === undefined || fromId === turn.board.self.instanceId) {
    return;
  }
  if (senderEntry.settingsVersion < version) {
    offerSettings(turn, fromId);
  } else if (senderEntry.settingsVersion > version) {
    requestNewerSettings(turn, fromId);
  }
}

function onPeerConnected(turn: Turn, peerId: string): void {
  clearOffer(turn.board, peerId);
  if (turn.board.settings.inForce === undefined) {
    requestSettings(turn, peerId);
  }
}

function pollStore(turn: Turn): void {
  const { settings } = turn.board;
  if (turn.nowMs < (settings.nextPollAtMs ?? -Infinity)) {
    return;
  }
  const { settingsPollMs } = timingInForce(turn.board);
  settings.lastPollAtMs = turn.nowMs;
  settings.nextPollAtMs = turn.nowMs + withJitter(settingsPollMs, turn.random);
  turn.emit({
    kind: EffectKind.PollSettings,
    haveVersion: settings.inForce?.version ?? 0,
  });
}

function applySettings(turn: Turn, candidate: SettingsVersion): void {
  const { settings } = turn.board;
  const version = settings.inForce?.version ?? 0;
  if (candidate.version > version) {
    applyHigherVersion(turn, candidate);
  } else if (
    candidate.version === version && candidate.changeId !== settings.changeId
  ) {
    rejectVersion(
      turn,
      candidate,
      `this version is already in force as ${settings.changeId}`,
    );
  }
}

function applyHigherVersion(turn: Turn, candidate: SettingsVersion): void {
  const { settings } = turn.board;
  if (wasRejected(turn, candidate)) {
    return;
  }
  const tree = readSettings(candidate.content);
  if (tree.isErr()) {
    const faults = tree.error.slice(0, MAX_LOGGED_FAULTS)
      .map(describeFault);
    rejectVersion(turn, candidate, faults.join("; "));
    return;
  }
  settings.inForce = resolveSettings(tree.value, candidate.version);
  settings.content = candidate.content;
  settings.changeId = candidate.changeId;
  settings.rejected = undefined;
  announceVersion(turn);
}

function announceVersion(turn: Turn): void {
  const { inForce, changeId } = turn.board.settings;
  const version = inForce?.version ?? 0;
  turn.emit({ kind: EffectKind.SettingsInForce, version });
  turn.log(
    LogLevel.Info,
    LogPart.Settings,
    `Version ${version} (${changeId}) is in force.`,
  );
  offerToOutdatedPeers(turn);
}

function wasRejected(turn: Turn, candidate: SettingsVersion): boolean {
  const { rejected } = turn.board.settings;
  return rejected?.version === candidate.version &&
    rejected.content === candidate.content;
}

function rejectVersion(
  turn: Turn,
  candidate: SettingsVersion,
  reason: string,
): void {
  if (wasRejected(turn, candidate)) {
    return;
  }
  const { version, content, changeId } = candidate;
  turn.board.settings.rejected = { version, content };
  turn.log(
    LogLevel.Error,
    LogPart.Settings,
    `Refused version ${version} (${changeId}): ${reason}.`,
  );
}
