/**
 * A large fleet in cells: the managers of a cell know each other in full (members, leases, level,
 * trials) and share the engines that their cell serves; of other cells each knows one row. Free of
 * I/O: time, chance and datagrams come in by calls, effects go out by {@link
 * firstage.cells.CellDirectory.Effects}. docs/cells.md says why.
 */
package firstage.cells;
