/** Settings of a small deployment: the classes and figures of semarang-main, one hall. */
final class Settings {
    private Settings() {}

    /**
     * Returns the settings.
     *
     * @param managers how many workload managers there are
     * @param rank the place of this one
     * @param cancel whether attempts may be cancelled
     * @param copies whether second copies are allowed
     */
    static String json(int managers, int rank, boolean cancel, boolean copies) {
        return ("{'areas':['hall-a'],'kinds':['std-8c'],'group_size':" + managers + ",'rank':"
                + rank + ",'zone':0,'discovery':'automatic','classes':["
                + trafficClass("lookup", "retryable", 1.0, 1.5, 5.0, 1.0, 0.0, false) + ","
                + trafficClass("report", "retryable", 2.0, 2.5, 20.0, 10.0, 0.3, false) + ","
                + trafficClass("log-load", "fragile", 4.0, 3.0, 25.0, 8.0, 0.5, true) + "],"
                + "'tenants':[{'name':'rumah-huruf','quota_per_s':1000.0}],"
                + "'family_info':{'dop':[1,2,2],'class_load':[false,false,false],"
                + "'yields_to_loads':[true,true,false],'kind_cores':[8],'size_mb':[16384.0],"
                + "'takes_grants':true,'lanes_count':true,'progress_pace':0.5,"
                + "'largest_share':0.4,'out_of_memory':'wait'},"
                + "'report':{'fields':['waiting'],'via':'on_probe'},"
                + "'limits':{'connect_timeout':0.25,'keepalive':30.0,'max_attempts':6,"
                + "'max_retry_after':2.0,'retry_after':true,'second_copies':" + copies
                + ",'may_cancel':" + cancel + ",'probing':true},"
                + "'deductions':{'probe':0.013,'cross_zone':0.045},"
                + "'rules':{'drain_grace':0.5,'cold_from':0.31,'ramp_time':13.0,"
                + "'tip_multiple':2.0,'fall':2.0,'key_quiet':0.0}}").replace('\'', '"');
    }

    private static String trafficClass(String name, String effect, double target, double stretch,
            double deadline, double worth, double late, boolean ordered) {
        return "{'name':'" + name + "','effect':'" + effect + "','group':'all','target':" + target
                + ",'aim_stretch':" + stretch + ",'deadline':" + deadline + ",'worth':" + worth
                + ",'late_value':" + late + ",'window':5.0,'by_arrival':" + ordered + "}";
    }
}
