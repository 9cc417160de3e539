/**
 * Scale tests: measure how the managers' costs of coordination grow in a fleet far larger than one
 * machine can host. A scale run starts hollow managers beside real ones; a hollow manager runs the
 * real modules of the membership and of everything built on it over real datagrams, without clients
 * and engines. Other measurements run in virtual time. docs/CAPACITY.md holds the figures.
 */
package firstage.scale;
