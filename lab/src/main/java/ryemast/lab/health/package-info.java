/**
 * How a module copes with sick boxes: cases played in virtual time over many seeds, and figures from the
 * books and the truth alone: when traffic left, what was lost, who was set aside wrongly, what was believed.
 */
package ryemast.lab.health;
