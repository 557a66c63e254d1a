/** Conversion between text and tokens. */

/** Converts text to tokens and back, since engines work on tokens only. */
export abstract class Tokenizer {
  /** Returns the tokens of a text. */
  abstract encode(text: string): number[];
  /** Returns the text of one token, including the space before it. */
  abstract decode(token: number): string;
}

const consonants = ["b", "d", "f", "g", "k", "l", "m", "n"];
const vowels = ["a", "e", "i", "o"];
const syllables = 3;
const syllableBits = 5;
const syllableMask = 31;
const vowelBits = 2;

/** Encodes each byte as a token, and decodes each token as a pronounceable word that is unique among tokens of 15 bits. */
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
