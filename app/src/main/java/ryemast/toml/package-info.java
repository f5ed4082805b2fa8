/**
 * Files in TOML that people write, read so that every fault is told at once, each with file, line, key, what
 * was wrong and what was expected.
 *
 * <p>The parser is tomlj. Weighed against night-config: both are kept up and cover TOML 1.0, and night-config
 * is the lighter one (no ANTLR runtime), can write files and keeps comments; but it gives no position for a
 * value that has been parsed, and its parser stops at the first fault. A check that names the line of a value
 * out of range, and lists all faults of a file in one go, needs both, so tomlj it is: its tables know the
 * line of each key, and it goes on after a syntax fault. What it costs, some 0.18 s of processor time for the
 * first file, nearly all of it ANTLR's classes, is paid only by those who have such a file.
 */
package ryemast.toml;
