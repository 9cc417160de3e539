/**
 * Fault tests: real manager processes run against emulated clients, engines and coordinators under
 * injected faults, and each run ends with a verdict. This is a development tool; {@code serve}
 * loads none of its classes.
 */
package firstage.faulttest;
