/** The kinds of request that the two deployments see. */

/** Who runs the system. */
export enum Deployment {
  ShambaSafi = "shamba-safi",
  SunuRegistrs = "sunu-registrs",
}

/** Kinds of request. */
export enum WorkKind {
  FaultNote = "fault-note",
  SeasonPlan = "season-plan",
  BladeQuery = "blade-query",
  StatusPost = "status-post",
  LicenceRenewal = "licence-renewal",
  FeeQuestion = "fee-question",
  ReminderLetter = "reminder-letter",
  CaseFileReading = "case-file-reading",
  InvoiceDraft = "invoice-draft",
}

/** Lowest and highest of a length in tokens. */
export interface TokenRange {
  readonly min: number;
  readonly max: number;
}

/** What requests of one kind are like. */
export interface WorkKindProfile {
  readonly deployment: Deployment;
  readonly tier: string;
  readonly pool: string;
  /** Share among the deployment's requests on a calm day. */
  readonly weight: number;
  /** Leading text that requests of a workspace share. */
  readonly prefixTokens: TokenRange;
  /** How many different leading texts each workspace has. */
  readonly prefixesPerWorkspace: number;
  /** The part of the prompt that is a request's own. */
  readonly ownTokens: TokenRange;
  readonly outputTokens: TokenRange;
  readonly maxOutputTokens: number;
  readonly deadlineMs: number;
  readonly idempotent: boolean;
  /** Share of requests that carry an idempotency key. */
  readonly keyedShare: number;
}

/** A workspace and its share of a deployment's requests. */
export interface WorkspaceShare {
  readonly workspace: string;
  readonly weight: number;
}

/** Tiers of each deployment, highest first. */
export const TIERS: Record<Deployment, readonly string[]> = {
  [Deployment.ShambaSafi]: ["urgent", "planned", "routine"],
  [Deployment.SunuRegistrs]: ["counter", "office", "background"],
};

/** Workspaces of each deployment; a few are large. */
export const WORKSPACES: Record<Deployment, readonly WorkspaceShare[]> = {
  [Deployment.ShambaSafi]: [
    { workspace: "arusha-schools", weight: 40 },
    { workspace: "njiro-plots", weight: 25 },
    { workspace: "arusha-clinics", weight: 15 },
    { workspace: "meru-plots", weight: 12 },
    { workspace: "usa-river-plots", weight: 8 },
  ],
  [Deployment.SunuRegistrs]: [
    { workspace: "riga-city", weight: 50 },
    { workspace: "jurmala", weight: 20 },
    { workspace: "vet-centrs", weight: 12 },
    { workspace: "ogre", weight: 10 },
    { workspace: "vet-teika", weight: 8 },
  ],
};

/** What requests of each kind are like. */
export const PROFILES: Record<WorkKind, WorkKindProfile> = {
  [WorkKind.FaultNote]: {
    deployment: Deployment.ShambaSafi,
    tier: "urgent",
    pool: "msaidizi",
    weight: 25,
    prefixTokens: { min: 512, max: 768 },
    prefixesPerWorkspace: 1,
    ownTokens: { min: 150, max: 900 },
    outputTokens: { min: 60, max: 280 },
    maxOutputTokens: 320,
    deadlineMs: 15_000,
    idempotent: true,
    keyedShare: 0.5,
  },
  [WorkKind.SeasonPlan]: {
    deployment: Deployment.ShambaSafi,
    tier: "planned",
    pool: "msaidizi",
    weight: 15,
    prefixTokens: { min: 1_500, max: 3_000 },
    prefixesPerWorkspace: 2,
    ownTokens: { min: 3_000, max: 12_000 },
    outputTokens: { min: 400, max: 1_400 },
    maxOutputTokens: 1_536,
    deadlineMs: 120_000,
    idempotent: true,
    keyedShare: 0.8,
  },
  [WorkKind.BladeQuery]: {
    deployment: Deployment.ShambaSafi,
    tier: "routine",
    pool: "msaidizi",
    weight: 45,
    prefixTokens: { min: 64, max: 128 },
    prefixesPerWorkspace: 1,
    ownTokens: { min: 12, max: 90 },
    outputTokens: { min: 20, max: 110 },
    maxOutputTokens: 128,
    deadlineMs: 30_000,
    idempotent: true,
    keyedShare: 0.2,
  },
  [WorkKind.StatusPost]: {
    deployment: Deployment.ShambaSafi,
    tier: "urgent",
    pool: "kazi-desk",
    weight: 15,
    prefixTokens: { min: 0, max: 0 },
    prefixesPerWorkspace: 1,
    ownTokens: { min: 30, max: 90 },
    outputTokens: { min: 4, max: 4 },
    maxOutputTokens: 16,
    deadlineMs: 10_000,
    idempotent: false,
    keyedShare: 1,
  },
  [WorkKind.LicenceRenewal]: {
    deployment: Deployment.SunuRegistrs,
    tier: "counter",
    pool: "valodas-modelis",
    weight: 20,
    prefixTokens: { min: 1_024, max: 1_536 },
    prefixesPerWorkspace: 1,
    ownTokens: { min: 1_200, max: 6_000 },
    outputTokens: { min: 80, max: 360 },
    maxOutputTokens: 400,
    deadlineMs: 30_000,
    idempotent: true,
    keyedShare: 0.6,
  },
  [WorkKind.FeeQuestion]: {
    deployment: Deployment.SunuRegistrs,
    tier: "office",
    pool: "valodas-modelis",
    weight: 40,
    prefixTokens: { min: 64, max: 128 },
    prefixesPerWorkspace: 1,
    ownTokens: { min: 12, max: 90 },
    outputTokens: { min: 20, max: 110 },
    maxOutputTokens: 128,
    deadlineMs: 20_000,
    idempotent: true,
    keyedShare: 0.2,
  },
  [WorkKind.ReminderLetter]: {
    deployment: Deployment.SunuRegistrs,
    tier: "background",
    pool: "valodas-modelis",
    weight: 15,
    prefixTokens: { min: 512, max: 768 },
    prefixesPerWorkspace: 1,
    ownTokens: { min: 100, max: 400 },
    outputTokens: { min: 200, max: 560 },
    maxOutputTokens: 640,
    deadlineMs: 300_000,
    idempotent: true,
    keyedShare: 0.8,
  },
  [WorkKind.CaseFileReading]: {
    deployment: Deployment.SunuRegistrs,
    tier: "office",
    pool: "valodas-modelis",
    weight: 12,
    prefixTokens: { min: 8_000, max: 24_000 },
    prefixesPerWorkspace: 30,
    ownTokens: { min: 40, max: 300 },
    outputTokens: { min: 150, max: 700 },
    maxOutputTokens: 768,
    deadlineMs: 90_000,
    idempotent: true,
    keyedShare: 0.7,
  },
  [WorkKind.InvoiceDraft]: {
    deployment: Deployment.SunuRegistrs,
    tier: "counter",
    pool: "registrs",
    weight: 13,
    prefixTokens: { min: 0, max: 0 },
    prefixesPerWorkspace: 1,
    ownTokens: { min: 60, max: 200 },
    outputTokens: { min: 4, max: 4 },
    maxOutputTokens: 16,
    deadlineMs: 15_000,
    idempotent: false,
    keyedShare: 1,
  },
};

/**
 * Lists the kinds of a deployment.
 *
 * @param deployment The deployment.
 * @returns Its kinds.
 */
export function kindsOf(deployment: Deployment): WorkKind[] {
  return Object.values(WorkKind).filter((kind) =>
    PROFILES[kind].deployment === deployment
  );
}
