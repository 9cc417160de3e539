/**
 * What managers do together where engines are sick or too few: free of I/O, on the membership's
 * view and digests. What a peer says makes a manager more careful, or hands it what the peer gave
 * up; no rule rests on it. docs/overload.md says why.
 */
package firstage.overload;
