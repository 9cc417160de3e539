/**
 * The command line: {@link firstage.cli.Main} selects a sub-command, and each sub-command has a
 * class. The package also contains the readers of the files that configure {@code serve}, and the
 * writers of the tables and files that tools produce. {@code serve} and {@code benchlink} load
 * neither the tools nor their libraries.
 */
package firstage.cli;
