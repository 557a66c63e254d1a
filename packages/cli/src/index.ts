/** The package exports nothing, since its interface consists of commands. */
export {};
