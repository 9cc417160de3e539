/**
 * Many real processes of the program beside the stand-ins, faults between them, one verdict. A
 * tool; serve loads none of it.
 */
package firstage.faulttest;
