/** The package exports nothing, since its interface is the commands. */
export {};
