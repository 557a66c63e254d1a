import type * as http from "node:http";

/** The whole body of a request, or why there is none: it is larger than allowed, or its caller left before its end. */
export type CallerBody = Buffer | "too-large" | "cut";

/** Reads the body of a request. What follows a body that is too large is read and dropped. */
export function readCallerBody(message: http.IncomingMessage, maxBytes: number): Promise<CallerBody> {
  return new Promise((resolve) => {
    const chunks: Buffer[] = [];
    let sizeBytes = 0;
    message.on("data", (chunk: Buffer) => {
      sizeBytes += chunk.length;
      if (sizeBytes <= maxBytes) return void chunks.push(chunk);
      chunks.length = 0;
      resolve("too-large");
    });
    message.once("end", () => resolve(Buffer.concat(chunks)));
    message.once("error", () => resolve("cut"));
    message.once("close", () => resolve("cut"));
  });
}
