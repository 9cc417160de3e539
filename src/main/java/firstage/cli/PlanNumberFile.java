package firstage.cli;

import firstage.cells.CellPlan;
import firstage.config.InvalidConfigException;
import firstage.config.PeerConfig;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;

/**
 * File beside a peers file that holds the number of the newest cell plan that this manager has
 * followed: {@code peers.toml.plan}, one line of digits. A manager that is given an older plan does
 * not start, since it would use engines that other cells have taken over after it reported the
 * newer plan.
 */
final class PlanNumberFile {
    private static final String SUFFIX = ".plan";
    private static final String TEMPORARY_SUFFIX = ".new";

    private PlanNumberFile() {}

    /**
     * Stores the number of the manager's plan on the disk. To be called before the manager reports
     * the number to other managers. Does nothing if the fleet has no cells.
     *
     * @throws InvalidConfigException if the manager has followed a newer plan
     */
    static void store(Path peersFile, PeerConfig peers) throws IOException {
        if (peers.cellPlacement() == null) {
            return;
        }
        CellPlan plan = peers.cellPlacement().plan();
        Path file = peersFile.resolveSibling(peersFile.getFileName() + SUFFIX);
        int stored = read(file);
        if (stored > plan.number()) {
            throw new InvalidConfigException(
                    peersFile.toString(),
                    InvalidConfigException.NO_LINE,
                    "plan: "
                            + plan.number()
                            + " is older than "
                            + stored
                            + ", which this manager held; give it the newer file");
        }
        if (stored < plan.number()) {
            write(file, plan.number());
        }
    }

    /** Returns the number in the file; 0 if the file is absent or does not hold a number. */
    private static int read(Path file) throws IOException {
        if (!Files.exists(file)) {
            return 0;
        }
        String text = Files.readString(file).trim();
        return text.matches("[0-9]{1,9}") ? Integer.parseInt(text) : 0;
    }

    /**
     * Writes the number. A kill leaves the previous number or this one in the file, never a part of
     * it.
     */
    private static void write(Path file, int number) throws IOException {
        Path temporaryFile = file.resolveSibling(file.getFileName() + TEMPORARY_SUFFIX);
        try (FileChannel channel =
                FileChannel.open(
                        temporaryFile,
                        StandardOpenOption.CREATE,
                        StandardOpenOption.WRITE,
                        StandardOpenOption.TRUNCATE_EXISTING)) {
            ByteBuffer line = ByteBuffer.wrap((number + "\n").getBytes(StandardCharsets.US_ASCII));
            while (line.hasRemaining()) {
                channel.write(line);
            }
            channel.force(true);
        }
        Files.move(temporaryFile, file, StandardCopyOption.ATOMIC_MOVE);
        try (FileChannel folder =
                FileChannel.open(file.toAbsolutePath().getParent(), StandardOpenOption.READ)) {
            folder.force(true);
        }
    }
}
