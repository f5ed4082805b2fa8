/** Two choices on the same draws: which is better, by how much, how sure that is, and when it is settled. */
package ryemast.lab.compare;
