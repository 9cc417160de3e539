/**
 * Cells of a large fleet: the managers of a cell know each other in full (members, leases,
 * load-shedding threshold, probe owners) and share the engines that their cell serves; of each
 * other cell they know one row. The package performs no I/O: time, randomness and datagrams come in
 * by calls, effects go out through {@link firstage.cells.CellActions}. docs/cells.md gives the
 * reasons.
 */
package firstage.cells;
