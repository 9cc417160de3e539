/**
 * The command line: {@link firstage.cli.Main} is the table of sub-commands, and each has a class.
 * Also the readers of what {@code serve} is told by files, and the tables and files that tools
 * write. {@code serve} and {@code benchlink} load neither the tools nor their libraries.
 */
package firstage.cli;
