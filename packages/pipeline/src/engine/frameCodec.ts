/** Encoding of frames, and decoding with validation. */
import { errors, results } from "@shedtiller/common";
import { Packr } from "msgpackr";
import type * as zod from "zod";

// Plain maps instead of msgpackr's record extension, so that engines may use any MessagePack library.
const packr = new Packr({ useRecords: false });

/** Encodes a frame. */
export function encodeFrame(frame: object): Buffer {
  return packr.pack(frame);
}

/** Decodes and validates a frame; `sender` names its origin in the error. */
export function decodeFrame<S extends zod.ZodType>(
  data: unknown,
  schema: S,
  sender: string,
): results.Result<zod.infer<S>, errors.InvalidInputError> {
  if (!(data instanceof Uint8Array))
    return results.Err(new errors.InvalidInputError(sender, "sent a text frame instead of a binary one"));
  let decoded: unknown;
  try {
    decoded = packr.unpack(data);
  } catch (error) {
    return results.Err(
      new errors.InvalidInputError(sender, `sent a malformed frame: ${errors.describeError(error)}`),
    );
  }
  const checked = schema.safeParse(decoded);
  if (!checked.success)
    return results.Err(errors.fromSchemaIssues(`frame from ${sender}`, checked.error.issues));
  return results.Ok(checked.data);
}
