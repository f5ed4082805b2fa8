/** A comparison as one page for a browser: plots, figures, and what was assumed. */
package ryemast.lab.report;
