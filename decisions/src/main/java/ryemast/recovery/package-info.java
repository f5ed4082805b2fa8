/** What happens to accepted jobs after each dispatch and after a crash during one. No I/O, no clock. */
package ryemast.recovery;
