/**
 * Fault tests: many real processes of the program beside emulators, injected faults, one verdict. A
 * tool; {@code serve} loads none of it.
 */
package firstage.faulttest;
