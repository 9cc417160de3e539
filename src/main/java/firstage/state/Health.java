package firstage.state;

/** How an engine is judged from what passes through. TRIAL lets one batch find out. */
public enum Health { READY, TRIAL, SILENT, DOWN }
