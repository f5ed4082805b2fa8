/** Trials and measurements of batch submission: a whole site, real submitters, and books of what ran. */
package ryemast.lab.batch;
