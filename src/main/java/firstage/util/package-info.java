/** Small types that every package may use. They decide nothing and depend on no other package. */
package firstage.util;
