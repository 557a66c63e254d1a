/** Text to tokens and back. Engines know tokens only. */

/** Turns text into tokens and tokens into text. */
export abstract class Tokenizer {
  abstract encode(text: string): number[];
  /** Text of one token, with the space that goes before it. */
  abstract decode(token: number): string;
}

const consonants = ["b", "d", "f", "g", "k", "l", "m", "n"];
const vowels = ["a", "e", "i", "o"];
const syllables = 3;
const syllableBits = 5;
const syllableMask = 31;
const vowelBits = 2;

/** Bytes in, one pronounceable word a token out. Each token of 15 bits has a word of its own. */
export class WordTokenizer extends Tokenizer {
  override encode(text: string): number[] {
    return [...Buffer.from(text, "utf8")];
  }

  override decode(token: number): string {
    let word = " ";
    for (let index = 0; index < syllables; index++) {
      const bits = (token >> (index * syllableBits)) & syllableMask;
      word += `${consonants[bits >> vowelBits] ?? ""}${vowels[bits & (vowels.length - 1)] ?? ""}`;
    }
    return word;
  }
}
