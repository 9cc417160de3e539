/**
 * How a fleet far larger than a machine behaves: hollow managers (the real modules of the
 * membership and of what stands on it, real datagrams, nothing behind them) beside real ones,
 * slopes in virtual time, figures for docs/CAPACITY.md.
 */
package firstage.scale;
