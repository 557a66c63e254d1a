/** Schemas of the frames between entry instances, encoded as MessagePack over one WebSocket per peer. */
import * as zod from "zod";

const name = zod.string().min(1).max(128);

/** Challenges the dialling side; sent by the accepting side as soon as the connection is open. */
export const challengeFrameSchema = zod.object({
  kind: zod.literal("challenge"),
  nonce: zod.string().max(128),
});
/** Identifies the dialling side and proves that it has the secret. */
export const helloFrameSchema = zod.object({
  kind: zod.literal("hello"),
  name,
  availabilityZone: name,
  nonce: zod.string().max(128),
  proof: zod.string().max(128),
});
/** Identifies the accepting side and proves that it has the secret. */
export const welcomeFrameSchema = zod.object({
  kind: zod.literal("welcome"),
  name,
  availabilityZone: name,
  proof: zod.string().max(128),
});
export const requestFrameSchema = zod.object({
  kind: zod.literal("request"),
  id: zod.number().int(),
  topic: name,
  body: zod.unknown(),
});
export const replyFrameSchema = zod.object({
  kind: zod.literal("reply"),
  id: zod.number().int(),
  body: zod.unknown(),
});
export const noticeFrameSchema = zod.object({
  kind: zod.literal("notice"),
  topic: name,
  body: zod.unknown(),
});

export const peerFrameSchema = zod.discriminatedUnion("kind", [
  challengeFrameSchema,
  helloFrameSchema,
  welcomeFrameSchema,
  requestFrameSchema,
  replyFrameSchema,
  noticeFrameSchema,
]);

export type PeerFrame = zod.infer<typeof peerFrameSchema>;
