/** Utilities that every package may use and that depend on no other package. */
package firstage.util;
