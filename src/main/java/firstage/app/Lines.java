package firstage.app;

import picocli.CommandLine;

/** Runs a sub-command of several words: one line on standard error and status 2 where something can't be used. */
final class Lines {
    private static final int FAULT = 2;

    private Lines() {
    }

    static int run(Object command, String name, String[] args) {
        CommandLine line = new CommandLine(command);
        line.setExecutionExceptionHandler((fault, failed, parsed) -> {
            System.err.println(name + ": " + Main.oneLine(fault));
            return FAULT;
        });
        return line.execute(args);
    }
}
