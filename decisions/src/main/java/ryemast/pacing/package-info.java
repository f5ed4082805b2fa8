/**
 * When to ask, and whom: decides for whoever polls, watches or keeps something alive how soon the next call
 * is, at which of several servers, and when one has failed. No I/O, clocks or threads; chance comes from a
 * seed.
 */
package ryemast.pacing;
