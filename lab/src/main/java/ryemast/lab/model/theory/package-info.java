/** Queues that have a formula, run by the model: what it makes of them must be what the formula says. */
package ryemast.lab.model.theory;
