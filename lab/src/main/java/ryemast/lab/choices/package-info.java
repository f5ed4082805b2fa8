/** Subsets and turns of a fleet in figures: ways of others and the program's own, at many sizes. */
package ryemast.lab.choices;
